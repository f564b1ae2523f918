/** Validator generated from schema/experiment.yaml.
 * @module */

// @ts-nocheck: generated code
"use strict";
export const validate = validate20;
export default validate20;
const schema31 = {"$schema":"https://json-schema.org/draft/2020-12/schema","title":"Experiment","description":"Load on a running system, or on one embedded in the tool, with faults by\nschedule. Times are milliseconds from the start of the run.\n","type":"object","additionalProperties":false,"required":["name","deployment","duration","arrivals","mix"],"properties":{"name":{"$ref":"#/$defs/Name"},"description":{"type":"string"},"deployment":{"description":"Whose stand-ins the run uses.","enum":["kivu","tran-gia"]},"seed":{"type":"integer","minimum":0,"description":"1 when absent."},"duration":{"description":"Milliseconds in which requests are sent.","type":"integer","minimum":100,"maximum":900000},"requests":{"description":"Requests after which no more are sent; 50000 when absent.","type":"integer","minimum":1,"maximum":200000},"patience":{"description":"Milliseconds past its deadline that a caller waits for a final answer;\n3000 when absent.\n","type":"integer","minimum":0,"maximum":60000},"target":{"$ref":"#/$defs/Target"},"hosts":{"description":"Hosts of the embedded system; 1 when absent.","type":"integer","minimum":1,"maximum":6},"engines":{"$ref":"#/$defs/Engines"},"arrivals":{"$ref":"#/$defs/Arrivals"},"mix":{"type":"array","minItems":1,"items":{"$ref":"#/$defs/Entry"}},"faults":{"type":"array","items":{"$ref":"#/$defs/ScheduledFault"}}},"$defs":{"Name":{"title":"Name","type":"string","pattern":"^[a-z0-9][a-z0-9.-]*$"},"Target":{"title":"Target","description":"A running system; when absent, one is embedded.","type":"object","additionalProperties":false,"required":["hosts","standIns"],"properties":{"hosts":{"description":"Base URLs of the callers' ports, taken in turn.","type":"array","minItems":1,"items":{"type":"string","pattern":"^https?://"}},"standIns":{"description":"Base URL of the control interface of the stand-ins.","type":"string","pattern":"^http://"}}},"Engines":{"title":"Engines","description":"Changes to the engines of embedded stand-ins.","type":"object","additionalProperties":false,"properties":{"slots":{"type":"integer","minimum":1},"stepTime":{"type":"number","exclusiveMinimum":0},"prefillTime":{"type":"number","minimum":0},"decodeTime":{"type":"number","minimum":0},"stride":{"type":"integer","minimum":1},"cacheBlocks":{"type":"integer","minimum":1},"gaps":{"type":"number","minimum":0,"maximum":1}}},"Arrivals":{"title":"Arrivals","description":"Poisson arrivals that do not wait for answers.","type":"object","additionalProperties":false,"required":["rate"],"properties":{"rate":{"type":"number","exclusiveMinimum":0,"maximum":5000,"description":"Requests a second."},"bursts":{"type":"array","items":{"$ref":"#/$defs/Burst"}}}},"Burst":{"title":"Burst","type":"object","additionalProperties":false,"required":["at","for","factor"],"properties":{"at":{"type":"integer","minimum":0},"for":{"type":"integer","minimum":1},"factor":{"type":"number","minimum":0,"description":"How many times the rate."}}},"Entry":{"title":"Entry","description":"Requests of one account and kind.","type":"object","additionalProperties":false,"required":["account","kind","share","deadline","call","input"],"properties":{"account":{"$ref":"#/$defs/Name"},"token":{"$ref":"#/$defs/Secret"},"kind":{"$ref":"#/$defs/Name"},"share":{"type":"number","exclusiveMinimum":0,"description":"Weight in the mix."},"deadline":{"type":"integer","minimum":1},"call":{"$ref":"#/$defs/Call"},"input":{"$ref":"#/$defs/Input"},"tokens":{"$ref":"#/$defs/Distribution"},"maxTokens":{"type":"integer","minimum":1},"stream":{"type":"boolean"},"idempotent":{"type":"boolean","description":"true when absent."},"key":{"type":"boolean","description":"Sends an Idempotency-Key."},"resends":{"description":"Times that a caller asks again, under the same key, when the answer\nwas lost or the system said when to come back; 0 when absent.\n","type":"integer","minimum":0,"maximum":10}}},"Secret":{"title":"Secret","description":"Bearer token by reference; `sample-ACCOUNT` when absent.","type":"object","additionalProperties":false,"minProperties":1,"maxProperties":1,"properties":{"env":{"type":"string","minLength":1},"file":{"type":"string","minLength":1}}},"Call":{"title":"Call","type":"object","discriminator":{"propertyName":"type"},"required":["type"],"oneOf":[{"$ref":"#/$defs/PipelineCall"},{"$ref":"#/$defs/ServiceCall"}]},"PipelineCall":{"title":"PipelineCall","type":"object","additionalProperties":false,"required":["type","pipeline"],"properties":{"type":{"const":"pipeline"},"pipeline":{"$ref":"#/$defs/Name"}}},"ServiceCall":{"title":"ServiceCall","type":"object","additionalProperties":false,"required":["type","service","path"],"properties":{"type":{"const":"service"},"service":{"$ref":"#/$defs/Name"},"method":{"enum":["GET","POST","PUT","DELETE"],"description":"POST when absent."},"path":{"type":"string","pattern":"^/"}}},"Input":{"title":"Input","type":"object","additionalProperties":false,"required":["characters"],"properties":{"characters":{"$ref":"#/$defs/Distribution"},"histories":{"description":"How many different texts the inputs begin with, such as the\nhistories of vessels; each input has its own when absent.\n","type":"integer","minimum":1},"question":{"type":"string","minLength":1},"documents":{"type":"integer","minimum":1,"description":"Documents that the caller sends along."}}},"Distribution":{"title":"Distribution","type":"object","discriminator":{"propertyName":"type"},"required":["type"],"oneOf":[{"$ref":"#/$defs/Fixed"},{"$ref":"#/$defs/Uniform"},{"$ref":"#/$defs/Lognormal"}]},"Fixed":{"title":"Fixed","type":"object","additionalProperties":false,"required":["type","value"],"properties":{"type":{"const":"fixed"},"value":{"type":"integer","minimum":1}}},"Uniform":{"title":"Uniform","type":"object","additionalProperties":false,"required":["type","least","most"],"properties":{"type":{"const":"uniform"},"least":{"type":"integer","minimum":1},"most":{"type":"integer","minimum":1}}},"Lognormal":{"title":"Lognormal","type":"object","additionalProperties":false,"required":["type","median","sigma","most"],"properties":{"type":{"const":"lognormal"},"median":{"type":"integer","minimum":1},"sigma":{"type":"number","minimum":0,"description":"Standard deviation of the logarithm."},"most":{"type":"integer","minimum":1}}},"ScheduledFault":{"title":"ScheduledFault","type":"object","additionalProperties":false,"required":["at","type"],"properties":{"at":{"type":"integer","minimum":0},"type":{"enum":["slow","hang","crossed","late","drop","refuse","silent","leave","kill","clear"]},"service":{"$ref":"#/$defs/Name"},"endpoint":{"$ref":"#/$defs/Name"},"dataCentre":{"$ref":"#/$defs/Name"},"first":{"type":"integer","minimum":1,"description":"How many of the selected endpoints."},"factor":{"type":"number","exclusiveMinimum":0},"share":{"type":"number","minimum":0,"maximum":1},"count":{"type":"integer","minimum":1},"for":{"type":"integer","minimum":1}}}}};
const schema32 = {"title":"Name","type":"string","pattern":"^[a-z0-9][a-z0-9.-]*$"};
const schema33 = {"title":"Target","description":"A running system; when absent, one is embedded.","type":"object","additionalProperties":false,"required":["hosts","standIns"],"properties":{"hosts":{"description":"Base URLs of the callers' ports, taken in turn.","type":"array","minItems":1,"items":{"type":"string","pattern":"^https?://"}},"standIns":{"description":"Base URL of the control interface of the stand-ins.","type":"string","pattern":"^http://"}}};
const schema34 = {"title":"Engines","description":"Changes to the engines of embedded stand-ins.","type":"object","additionalProperties":false,"properties":{"slots":{"type":"integer","minimum":1},"stepTime":{"type":"number","exclusiveMinimum":0},"prefillTime":{"type":"number","minimum":0},"decodeTime":{"type":"number","minimum":0},"stride":{"type":"integer","minimum":1},"cacheBlocks":{"type":"integer","minimum":1},"gaps":{"type":"number","minimum":0,"maximum":1}}};
const func1 = Object.prototype.hasOwnProperty;
const pattern4 = new RegExp("^[a-z0-9][a-z0-9.-]*$", "u");
const pattern5 = new RegExp("^https?://", "u");
const pattern6 = new RegExp("^http://", "u");
const schema35 = {"title":"Arrivals","description":"Poisson arrivals that do not wait for answers.","type":"object","additionalProperties":false,"required":["rate"],"properties":{"rate":{"type":"number","exclusiveMinimum":0,"maximum":5000,"description":"Requests a second."},"bursts":{"type":"array","items":{"$ref":"#/$defs/Burst"}}}};
const schema36 = {"title":"Burst","type":"object","additionalProperties":false,"required":["at","for","factor"],"properties":{"at":{"type":"integer","minimum":0},"for":{"type":"integer","minimum":1},"factor":{"type":"number","minimum":0,"description":"How many times the rate."}}};

function validate21(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate21.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((data.rate === undefined) && (missing0 = "rate")){
validate21.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema35.required,parentSchema:schema35,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!((key0 === "rate") || (key0 === "bursts"))){
validate21.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema35,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.rate !== undefined){
let data0 = data.rate;
const _errs2 = errors;
if(errors === _errs2){
if((typeof data0 == "number") && (isFinite(data0))){
if(data0 > 5000 || isNaN(data0)){
validate21.errors = [{instancePath:instancePath+"/rate",schemaPath:"#/properties/rate/maximum",keyword:"maximum",params:{comparison: "<=", limit: 5000},message:"must be <= 5000",schema:5000,parentSchema:schema35.properties.rate,data:data0}];
return false;
}
else {
if(data0 <= 0 || isNaN(data0)){
validate21.errors = [{instancePath:instancePath+"/rate",schemaPath:"#/properties/rate/exclusiveMinimum",keyword:"exclusiveMinimum",params:{comparison: ">", limit: 0},message:"must be > 0",schema:0,parentSchema:schema35.properties.rate,data:data0}];
return false;
}
}
}
else {
validate21.errors = [{instancePath:instancePath+"/rate",schemaPath:"#/properties/rate/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema35.properties.rate.type,parentSchema:schema35.properties.rate,data:data0}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.bursts !== undefined){
let data1 = data.bursts;
const _errs4 = errors;
if(errors === _errs4){
if(Array.isArray(data1)){
var valid1 = true;
const len0 = data1.length;
for(let i0=0; i0<len0; i0++){
let data2 = data1[i0];
const _errs6 = errors;
const _errs7 = errors;
if(errors === _errs7){
if(data2 && typeof data2 == "object" && !Array.isArray(data2)){
let missing1;
if((((data2.at === undefined) && (missing1 = "at")) || ((data2.for === undefined) && (missing1 = "for"))) || ((data2.factor === undefined) && (missing1 = "factor"))){
validate21.errors = [{instancePath:instancePath+"/bursts/" + i0,schemaPath:"#/$defs/Burst/required",keyword:"required",params:{missingProperty: missing1},message:"must have required property '"+missing1+"'",schema:schema36.required,parentSchema:schema36,data:data2}];
return false;
}
else {
const _errs9 = errors;
for(const key1 in data2){
if(!(((key1 === "at") || (key1 === "for")) || (key1 === "factor"))){
validate21.errors = [{instancePath:instancePath+"/bursts/" + i0,schemaPath:"#/$defs/Burst/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key1},message:"must NOT have additional properties",schema:false,parentSchema:schema36,data:data2}];
return false;
break;
}
}
if(_errs9 === errors){
if(data2.at !== undefined){
let data3 = data2.at;
const _errs10 = errors;
if(!(((typeof data3 == "number") && (!(data3 % 1) && !isNaN(data3))) && (isFinite(data3)))){
validate21.errors = [{instancePath:instancePath+"/bursts/" + i0+"/at",schemaPath:"#/$defs/Burst/properties/at/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema36.properties.at.type,parentSchema:schema36.properties.at,data:data3}];
return false;
}
if(errors === _errs10){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 < 0 || isNaN(data3)){
validate21.errors = [{instancePath:instancePath+"/bursts/" + i0+"/at",schemaPath:"#/$defs/Burst/properties/at/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema36.properties.at,data:data3}];
return false;
}
}
}
var valid3 = _errs10 === errors;
}
else {
var valid3 = true;
}
if(valid3){
if(data2.for !== undefined){
let data4 = data2.for;
const _errs12 = errors;
if(!(((typeof data4 == "number") && (!(data4 % 1) && !isNaN(data4))) && (isFinite(data4)))){
validate21.errors = [{instancePath:instancePath+"/bursts/" + i0+"/for",schemaPath:"#/$defs/Burst/properties/for/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema36.properties.for.type,parentSchema:schema36.properties.for,data:data4}];
return false;
}
if(errors === _errs12){
if((typeof data4 == "number") && (isFinite(data4))){
if(data4 < 1 || isNaN(data4)){
validate21.errors = [{instancePath:instancePath+"/bursts/" + i0+"/for",schemaPath:"#/$defs/Burst/properties/for/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema36.properties.for,data:data4}];
return false;
}
}
}
var valid3 = _errs12 === errors;
}
else {
var valid3 = true;
}
if(valid3){
if(data2.factor !== undefined){
let data5 = data2.factor;
const _errs14 = errors;
if(errors === _errs14){
if((typeof data5 == "number") && (isFinite(data5))){
if(data5 < 0 || isNaN(data5)){
validate21.errors = [{instancePath:instancePath+"/bursts/" + i0+"/factor",schemaPath:"#/$defs/Burst/properties/factor/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema36.properties.factor,data:data5}];
return false;
}
}
else {
validate21.errors = [{instancePath:instancePath+"/bursts/" + i0+"/factor",schemaPath:"#/$defs/Burst/properties/factor/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema36.properties.factor.type,parentSchema:schema36.properties.factor,data:data5}];
return false;
}
}
var valid3 = _errs14 === errors;
}
else {
var valid3 = true;
}
}
}
}
}
}
else {
validate21.errors = [{instancePath:instancePath+"/bursts/" + i0,schemaPath:"#/$defs/Burst/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema36.type,parentSchema:schema36,data:data2}];
return false;
}
}
var valid1 = _errs6 === errors;
if(!valid1){
break;
}
}
}
else {
validate21.errors = [{instancePath:instancePath+"/bursts",schemaPath:"#/properties/bursts/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema35.properties.bursts.type,parentSchema:schema35.properties.bursts,data:data1}];
return false;
}
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
else {
validate21.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema35.type,parentSchema:schema35,data}];
return false;
}
}
validate21.errors = vErrors;
return errors === 0;
}
validate21.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};

const schema37 = {"title":"Entry","description":"Requests of one account and kind.","type":"object","additionalProperties":false,"required":["account","kind","share","deadline","call","input"],"properties":{"account":{"$ref":"#/$defs/Name"},"token":{"$ref":"#/$defs/Secret"},"kind":{"$ref":"#/$defs/Name"},"share":{"type":"number","exclusiveMinimum":0,"description":"Weight in the mix."},"deadline":{"type":"integer","minimum":1},"call":{"$ref":"#/$defs/Call"},"input":{"$ref":"#/$defs/Input"},"tokens":{"$ref":"#/$defs/Distribution"},"maxTokens":{"type":"integer","minimum":1},"stream":{"type":"boolean"},"idempotent":{"type":"boolean","description":"true when absent."},"key":{"type":"boolean","description":"Sends an Idempotency-Key."},"resends":{"description":"Times that a caller asks again, under the same key, when the answer\nwas lost or the system said when to come back; 0 when absent.\n","type":"integer","minimum":0,"maximum":10}}};
const schema39 = {"title":"Secret","description":"Bearer token by reference; `sample-ACCOUNT` when absent.","type":"object","additionalProperties":false,"minProperties":1,"maxProperties":1,"properties":{"env":{"type":"string","minLength":1},"file":{"type":"string","minLength":1}}};
const schema41 = {"title":"Call","type":"object","discriminator":{"propertyName":"type"},"required":["type"],"oneOf":[{"$ref":"#/$defs/PipelineCall"},{"$ref":"#/$defs/ServiceCall"}]};
const schema42 = {"title":"PipelineCall","type":"object","additionalProperties":false,"required":["type","pipeline"],"properties":{"type":{"const":"pipeline"},"pipeline":{"$ref":"#/$defs/Name"}}};

function validate25(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate25.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((data.type === undefined) && (missing0 = "type")) || ((data.pipeline === undefined) && (missing0 = "pipeline"))){
validate25.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema42.required,parentSchema:schema42,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!((key0 === "type") || (key0 === "pipeline"))){
validate25.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema42,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.type !== undefined){
let data0 = data.type;
const _errs2 = errors;
if("pipeline" !== data0){
validate25.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "pipeline"},message:"must be equal to constant",schema:"pipeline",parentSchema:schema42.properties.type,data:data0}];
return false;
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.pipeline !== undefined){
let data1 = data.pipeline;
const _errs3 = errors;
const _errs4 = errors;
if(errors === _errs4){
if(typeof data1 === "string"){
if(!pattern4.test(data1)){
validate25.errors = [{instancePath:instancePath+"/pipeline",schemaPath:"#/$defs/Name/pattern",keyword:"pattern",params:{pattern: "^[a-z0-9][a-z0-9.-]*$"},message:"must match pattern \""+"^[a-z0-9][a-z0-9.-]*$"+"\"",schema:"^[a-z0-9][a-z0-9.-]*$",parentSchema:schema32,data:data1}];
return false;
}
}
else {
validate25.errors = [{instancePath:instancePath+"/pipeline",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema32.type,parentSchema:schema32,data:data1}];
return false;
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
else {
validate25.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema42.type,parentSchema:schema42,data}];
return false;
}
}
validate25.errors = vErrors;
return errors === 0;
}
validate25.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};

const schema44 = {"title":"ServiceCall","type":"object","additionalProperties":false,"required":["type","service","path"],"properties":{"type":{"const":"service"},"service":{"$ref":"#/$defs/Name"},"method":{"enum":["GET","POST","PUT","DELETE"],"description":"POST when absent."},"path":{"type":"string","pattern":"^/"}}};
const pattern11 = new RegExp("^/", "u");

function validate26(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate26.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((data.type === undefined) && (missing0 = "type")) || ((data.service === undefined) && (missing0 = "service"))) || ((data.path === undefined) && (missing0 = "path"))){
validate26.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema44.required,parentSchema:schema44,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!((((key0 === "type") || (key0 === "service")) || (key0 === "method")) || (key0 === "path"))){
validate26.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema44,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.type !== undefined){
let data0 = data.type;
const _errs2 = errors;
if("service" !== data0){
validate26.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "service"},message:"must be equal to constant",schema:"service",parentSchema:schema44.properties.type,data:data0}];
return false;
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.service !== undefined){
let data1 = data.service;
const _errs3 = errors;
const _errs4 = errors;
if(errors === _errs4){
if(typeof data1 === "string"){
if(!pattern4.test(data1)){
validate26.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/pattern",keyword:"pattern",params:{pattern: "^[a-z0-9][a-z0-9.-]*$"},message:"must match pattern \""+"^[a-z0-9][a-z0-9.-]*$"+"\"",schema:"^[a-z0-9][a-z0-9.-]*$",parentSchema:schema32,data:data1}];
return false;
}
}
else {
validate26.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema32.type,parentSchema:schema32,data:data1}];
return false;
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.method !== undefined){
let data2 = data.method;
const _errs6 = errors;
if(!((((data2 === "GET") || (data2 === "POST")) || (data2 === "PUT")) || (data2 === "DELETE"))){
validate26.errors = [{instancePath:instancePath+"/method",schemaPath:"#/properties/method/enum",keyword:"enum",params:{allowedValues: schema44.properties.method.enum},message:"must be equal to one of the allowed values",schema:schema44.properties.method.enum,parentSchema:schema44.properties.method,data:data2}];
return false;
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.path !== undefined){
let data3 = data.path;
const _errs7 = errors;
if(errors === _errs7){
if(typeof data3 === "string"){
if(!pattern11.test(data3)){
validate26.errors = [{instancePath:instancePath+"/path",schemaPath:"#/properties/path/pattern",keyword:"pattern",params:{pattern: "^/"},message:"must match pattern \""+"^/"+"\"",schema:"^/",parentSchema:schema44.properties.path,data:data3}];
return false;
}
}
else {
validate26.errors = [{instancePath:instancePath+"/path",schemaPath:"#/properties/path/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema44.properties.path.type,parentSchema:schema44.properties.path,data:data3}];
return false;
}
}
var valid0 = _errs7 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
else {
validate26.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema44.type,parentSchema:schema44,data}];
return false;
}
}
validate26.errors = vErrors;
return errors === 0;
}
validate26.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};


function validate24(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate24.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((data.type === undefined) && (missing0 = "type")){
validate24.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema41.required,parentSchema:schema41,data}];
return false;
}
else {
const tag0 = data.type;
if(typeof tag0 == "string"){
if(tag0 === "pipeline"){
if(!(validate25(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate25.errors : vErrors.concat(validate25.errors);
errors = vErrors.length;
}
var props0 = true;
}
else if(tag0 === "service"){
if(!(validate26(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate26.errors : vErrors.concat(validate26.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = true;
}
}
else {
validate24.errors = [{instancePath,schemaPath:"#/discriminator",keyword:"discriminator",params:{error: "mapping", tag: "type", tagValue: tag0},message:"value of tag \"type\" must be in oneOf",schema:schema41.discriminator,parentSchema:schema41,data}];
return false;
}
}
else {
validate24.errors = [{instancePath,schemaPath:"#/discriminator",keyword:"discriminator",params:{error: "tag", tag: "type", tagValue: tag0},message:"tag \"type\" must be string",schema:schema41.discriminator,parentSchema:schema41,data}];
return false;
}
}
}
else {
validate24.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema41.type,parentSchema:schema41,data}];
return false;
}
}
validate24.errors = vErrors;
evaluated0.props = props0;
return errors === 0;
}
validate24.evaluated = {"dynamicProps":true,"dynamicItems":false};

const schema46 = {"title":"Input","type":"object","additionalProperties":false,"required":["characters"],"properties":{"characters":{"$ref":"#/$defs/Distribution"},"histories":{"description":"How many different texts the inputs begin with, such as the\nhistories of vessels; each input has its own when absent.\n","type":"integer","minimum":1},"question":{"type":"string","minLength":1},"documents":{"type":"integer","minimum":1,"description":"Documents that the caller sends along."}}};
const schema47 = {"title":"Distribution","type":"object","discriminator":{"propertyName":"type"},"required":["type"],"oneOf":[{"$ref":"#/$defs/Fixed"},{"$ref":"#/$defs/Uniform"},{"$ref":"#/$defs/Lognormal"}]};
const schema48 = {"title":"Fixed","type":"object","additionalProperties":false,"required":["type","value"],"properties":{"type":{"const":"fixed"},"value":{"type":"integer","minimum":1}}};
const schema49 = {"title":"Uniform","type":"object","additionalProperties":false,"required":["type","least","most"],"properties":{"type":{"const":"uniform"},"least":{"type":"integer","minimum":1},"most":{"type":"integer","minimum":1}}};
const schema50 = {"title":"Lognormal","type":"object","additionalProperties":false,"required":["type","median","sigma","most"],"properties":{"type":{"const":"lognormal"},"median":{"type":"integer","minimum":1},"sigma":{"type":"number","minimum":0,"description":"Standard deviation of the logarithm."},"most":{"type":"integer","minimum":1}}};

function validate31(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate31.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((data.type === undefined) && (missing0 = "type")){
validate31.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema47.required,parentSchema:schema47,data}];
return false;
}
else {
const tag0 = data.type;
if(typeof tag0 == "string"){
if(tag0 === "fixed"){
const _errs3 = errors;
if(errors === _errs3){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing1;
if(((data.type === undefined) && (missing1 = "type")) || ((data.value === undefined) && (missing1 = "value"))){
validate31.errors = [{instancePath,schemaPath:"#/$defs/Fixed/required",keyword:"required",params:{missingProperty: missing1},message:"must have required property '"+missing1+"'",schema:schema48.required,parentSchema:schema48,data}];
return false;
}
else {
const _errs5 = errors;
for(const key0 in data){
if(!((key0 === "type") || (key0 === "value"))){
validate31.errors = [{instancePath,schemaPath:"#/$defs/Fixed/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema48,data}];
return false;
break;
}
}
if(_errs5 === errors){
if(data.type !== undefined){
let data0 = data.type;
const _errs6 = errors;
if("fixed" !== data0){
validate31.errors = [{instancePath:instancePath+"/type",schemaPath:"#/$defs/Fixed/properties/type/const",keyword:"const",params:{allowedValue: "fixed"},message:"must be equal to constant",schema:"fixed",parentSchema:schema48.properties.type,data:data0}];
return false;
}
var valid3 = _errs6 === errors;
}
else {
var valid3 = true;
}
if(valid3){
if(data.value !== undefined){
let data1 = data.value;
const _errs7 = errors;
if(!(((typeof data1 == "number") && (!(data1 % 1) && !isNaN(data1))) && (isFinite(data1)))){
validate31.errors = [{instancePath:instancePath+"/value",schemaPath:"#/$defs/Fixed/properties/value/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema48.properties.value.type,parentSchema:schema48.properties.value,data:data1}];
return false;
}
if(errors === _errs7){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 1 || isNaN(data1)){
validate31.errors = [{instancePath:instancePath+"/value",schemaPath:"#/$defs/Fixed/properties/value/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema48.properties.value,data:data1}];
return false;
}
}
}
var valid3 = _errs7 === errors;
}
else {
var valid3 = true;
}
}
}
}
}
else {
validate31.errors = [{instancePath,schemaPath:"#/$defs/Fixed/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema48.type,parentSchema:schema48,data}];
return false;
}
}
var props0 = true;
}
else if(tag0 === "uniform"){
const _errs10 = errors;
if(errors === _errs10){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing2;
if((((data.type === undefined) && (missing2 = "type")) || ((data.least === undefined) && (missing2 = "least"))) || ((data.most === undefined) && (missing2 = "most"))){
validate31.errors = [{instancePath,schemaPath:"#/$defs/Uniform/required",keyword:"required",params:{missingProperty: missing2},message:"must have required property '"+missing2+"'",schema:schema49.required,parentSchema:schema49,data}];
return false;
}
else {
const _errs12 = errors;
for(const key1 in data){
if(!(((key1 === "type") || (key1 === "least")) || (key1 === "most"))){
validate31.errors = [{instancePath,schemaPath:"#/$defs/Uniform/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key1},message:"must NOT have additional properties",schema:false,parentSchema:schema49,data}];
return false;
break;
}
}
if(_errs12 === errors){
if(data.type !== undefined){
let data2 = data.type;
const _errs13 = errors;
if("uniform" !== data2){
validate31.errors = [{instancePath:instancePath+"/type",schemaPath:"#/$defs/Uniform/properties/type/const",keyword:"const",params:{allowedValue: "uniform"},message:"must be equal to constant",schema:"uniform",parentSchema:schema49.properties.type,data:data2}];
return false;
}
var valid6 = _errs13 === errors;
}
else {
var valid6 = true;
}
if(valid6){
if(data.least !== undefined){
let data3 = data.least;
const _errs14 = errors;
if(!(((typeof data3 == "number") && (!(data3 % 1) && !isNaN(data3))) && (isFinite(data3)))){
validate31.errors = [{instancePath:instancePath+"/least",schemaPath:"#/$defs/Uniform/properties/least/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema49.properties.least.type,parentSchema:schema49.properties.least,data:data3}];
return false;
}
if(errors === _errs14){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 < 1 || isNaN(data3)){
validate31.errors = [{instancePath:instancePath+"/least",schemaPath:"#/$defs/Uniform/properties/least/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema49.properties.least,data:data3}];
return false;
}
}
}
var valid6 = _errs14 === errors;
}
else {
var valid6 = true;
}
if(valid6){
if(data.most !== undefined){
let data4 = data.most;
const _errs16 = errors;
if(!(((typeof data4 == "number") && (!(data4 % 1) && !isNaN(data4))) && (isFinite(data4)))){
validate31.errors = [{instancePath:instancePath+"/most",schemaPath:"#/$defs/Uniform/properties/most/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema49.properties.most.type,parentSchema:schema49.properties.most,data:data4}];
return false;
}
if(errors === _errs16){
if((typeof data4 == "number") && (isFinite(data4))){
if(data4 < 1 || isNaN(data4)){
validate31.errors = [{instancePath:instancePath+"/most",schemaPath:"#/$defs/Uniform/properties/most/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema49.properties.most,data:data4}];
return false;
}
}
}
var valid6 = _errs16 === errors;
}
else {
var valid6 = true;
}
}
}
}
}
}
else {
validate31.errors = [{instancePath,schemaPath:"#/$defs/Uniform/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema49.type,parentSchema:schema49,data}];
return false;
}
}
if(props0 !== true){
props0 = true;
}
}
else if(tag0 === "lognormal"){
const _errs19 = errors;
if(errors === _errs19){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing3;
if(((((data.type === undefined) && (missing3 = "type")) || ((data.median === undefined) && (missing3 = "median"))) || ((data.sigma === undefined) && (missing3 = "sigma"))) || ((data.most === undefined) && (missing3 = "most"))){
validate31.errors = [{instancePath,schemaPath:"#/$defs/Lognormal/required",keyword:"required",params:{missingProperty: missing3},message:"must have required property '"+missing3+"'",schema:schema50.required,parentSchema:schema50,data}];
return false;
}
else {
const _errs21 = errors;
for(const key2 in data){
if(!((((key2 === "type") || (key2 === "median")) || (key2 === "sigma")) || (key2 === "most"))){
validate31.errors = [{instancePath,schemaPath:"#/$defs/Lognormal/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key2},message:"must NOT have additional properties",schema:false,parentSchema:schema50,data}];
return false;
break;
}
}
if(_errs21 === errors){
if(data.type !== undefined){
let data5 = data.type;
const _errs22 = errors;
if("lognormal" !== data5){
validate31.errors = [{instancePath:instancePath+"/type",schemaPath:"#/$defs/Lognormal/properties/type/const",keyword:"const",params:{allowedValue: "lognormal"},message:"must be equal to constant",schema:"lognormal",parentSchema:schema50.properties.type,data:data5}];
return false;
}
var valid9 = _errs22 === errors;
}
else {
var valid9 = true;
}
if(valid9){
if(data.median !== undefined){
let data6 = data.median;
const _errs23 = errors;
if(!(((typeof data6 == "number") && (!(data6 % 1) && !isNaN(data6))) && (isFinite(data6)))){
validate31.errors = [{instancePath:instancePath+"/median",schemaPath:"#/$defs/Lognormal/properties/median/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema50.properties.median.type,parentSchema:schema50.properties.median,data:data6}];
return false;
}
if(errors === _errs23){
if((typeof data6 == "number") && (isFinite(data6))){
if(data6 < 1 || isNaN(data6)){
validate31.errors = [{instancePath:instancePath+"/median",schemaPath:"#/$defs/Lognormal/properties/median/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema50.properties.median,data:data6}];
return false;
}
}
}
var valid9 = _errs23 === errors;
}
else {
var valid9 = true;
}
if(valid9){
if(data.sigma !== undefined){
let data7 = data.sigma;
const _errs25 = errors;
if(errors === _errs25){
if((typeof data7 == "number") && (isFinite(data7))){
if(data7 < 0 || isNaN(data7)){
validate31.errors = [{instancePath:instancePath+"/sigma",schemaPath:"#/$defs/Lognormal/properties/sigma/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema50.properties.sigma,data:data7}];
return false;
}
}
else {
validate31.errors = [{instancePath:instancePath+"/sigma",schemaPath:"#/$defs/Lognormal/properties/sigma/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema50.properties.sigma.type,parentSchema:schema50.properties.sigma,data:data7}];
return false;
}
}
var valid9 = _errs25 === errors;
}
else {
var valid9 = true;
}
if(valid9){
if(data.most !== undefined){
let data8 = data.most;
const _errs27 = errors;
if(!(((typeof data8 == "number") && (!(data8 % 1) && !isNaN(data8))) && (isFinite(data8)))){
validate31.errors = [{instancePath:instancePath+"/most",schemaPath:"#/$defs/Lognormal/properties/most/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema50.properties.most.type,parentSchema:schema50.properties.most,data:data8}];
return false;
}
if(errors === _errs27){
if((typeof data8 == "number") && (isFinite(data8))){
if(data8 < 1 || isNaN(data8)){
validate31.errors = [{instancePath:instancePath+"/most",schemaPath:"#/$defs/Lognormal/properties/most/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema50.properties.most,data:data8}];
return false;
}
}
}
var valid9 = _errs27 === errors;
}
else {
var valid9 = true;
}
}
}
}
}
}
}
else {
validate31.errors = [{instancePath,schemaPath:"#/$defs/Lognormal/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema50.type,parentSchema:schema50,data}];
return false;
}
}
if(props0 !== true){
props0 = true;
}
}
else {
validate31.errors = [{instancePath,schemaPath:"#/discriminator",keyword:"discriminator",params:{error: "mapping", tag: "type", tagValue: tag0},message:"value of tag \"type\" must be in oneOf",schema:schema47.discriminator,parentSchema:schema47,data}];
return false;
}
}
else {
validate31.errors = [{instancePath,schemaPath:"#/discriminator",keyword:"discriminator",params:{error: "tag", tag: "type", tagValue: tag0},message:"tag \"type\" must be string",schema:schema47.discriminator,parentSchema:schema47,data}];
return false;
}
}
}
else {
validate31.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema47.type,parentSchema:schema47,data}];
return false;
}
}
validate31.errors = vErrors;
evaluated0.props = props0;
return errors === 0;
}
validate31.evaluated = {"dynamicProps":true,"dynamicItems":false};


function validate30(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate30.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((data.characters === undefined) && (missing0 = "characters")){
validate30.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema46.required,parentSchema:schema46,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!((((key0 === "characters") || (key0 === "histories")) || (key0 === "question")) || (key0 === "documents"))){
validate30.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema46,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.characters !== undefined){
const _errs2 = errors;
if(!(validate31(data.characters, {instancePath:instancePath+"/characters",parentData:data,parentDataProperty:"characters",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate31.errors : vErrors.concat(validate31.errors);
errors = vErrors.length;
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.histories !== undefined){
let data1 = data.histories;
const _errs3 = errors;
if(!(((typeof data1 == "number") && (!(data1 % 1) && !isNaN(data1))) && (isFinite(data1)))){
validate30.errors = [{instancePath:instancePath+"/histories",schemaPath:"#/properties/histories/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema46.properties.histories.type,parentSchema:schema46.properties.histories,data:data1}];
return false;
}
if(errors === _errs3){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 1 || isNaN(data1)){
validate30.errors = [{instancePath:instancePath+"/histories",schemaPath:"#/properties/histories/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema46.properties.histories,data:data1}];
return false;
}
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.question !== undefined){
let data2 = data.question;
const _errs5 = errors;
if(errors === _errs5){
if(typeof data2 === "string"){
if(data2.length < 1){
validate30.errors = [{instancePath:instancePath+"/question",schemaPath:"#/properties/question/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema46.properties.question,data:data2}];
return false;
}
}
else {
validate30.errors = [{instancePath:instancePath+"/question",schemaPath:"#/properties/question/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema46.properties.question.type,parentSchema:schema46.properties.question,data:data2}];
return false;
}
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.documents !== undefined){
let data3 = data.documents;
const _errs7 = errors;
if(!(((typeof data3 == "number") && (!(data3 % 1) && !isNaN(data3))) && (isFinite(data3)))){
validate30.errors = [{instancePath:instancePath+"/documents",schemaPath:"#/properties/documents/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema46.properties.documents.type,parentSchema:schema46.properties.documents,data:data3}];
return false;
}
if(errors === _errs7){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 < 1 || isNaN(data3)){
validate30.errors = [{instancePath:instancePath+"/documents",schemaPath:"#/properties/documents/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema46.properties.documents,data:data3}];
return false;
}
}
}
var valid0 = _errs7 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
else {
validate30.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema46.type,parentSchema:schema46,data}];
return false;
}
}
validate30.errors = vErrors;
return errors === 0;
}
validate30.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};


function validate23(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate23.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((((((data.account === undefined) && (missing0 = "account")) || ((data.kind === undefined) && (missing0 = "kind"))) || ((data.share === undefined) && (missing0 = "share"))) || ((data.deadline === undefined) && (missing0 = "deadline"))) || ((data.call === undefined) && (missing0 = "call"))) || ((data.input === undefined) && (missing0 = "input"))){
validate23.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema37.required,parentSchema:schema37,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!(func1.call(schema37.properties, key0))){
validate23.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema37,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.account !== undefined){
let data0 = data.account;
const _errs2 = errors;
const _errs3 = errors;
if(errors === _errs3){
if(typeof data0 === "string"){
if(!pattern4.test(data0)){
validate23.errors = [{instancePath:instancePath+"/account",schemaPath:"#/$defs/Name/pattern",keyword:"pattern",params:{pattern: "^[a-z0-9][a-z0-9.-]*$"},message:"must match pattern \""+"^[a-z0-9][a-z0-9.-]*$"+"\"",schema:"^[a-z0-9][a-z0-9.-]*$",parentSchema:schema32,data:data0}];
return false;
}
}
else {
validate23.errors = [{instancePath:instancePath+"/account",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema32.type,parentSchema:schema32,data:data0}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.token !== undefined){
let data1 = data.token;
const _errs5 = errors;
const _errs6 = errors;
if(errors === _errs6){
if(data1 && typeof data1 == "object" && !Array.isArray(data1)){
if(Object.keys(data1).length > 1){
validate23.errors = [{instancePath:instancePath+"/token",schemaPath:"#/$defs/Secret/maxProperties",keyword:"maxProperties",params:{limit: 1},message:"must NOT have more than 1 properties",schema:1,parentSchema:schema39,data:data1}];
return false;
}
else {
if(Object.keys(data1).length < 1){
validate23.errors = [{instancePath:instancePath+"/token",schemaPath:"#/$defs/Secret/minProperties",keyword:"minProperties",params:{limit: 1},message:"must NOT have fewer than 1 properties",schema:1,parentSchema:schema39,data:data1}];
return false;
}
else {
const _errs8 = errors;
for(const key1 in data1){
if(!((key1 === "env") || (key1 === "file"))){
validate23.errors = [{instancePath:instancePath+"/token",schemaPath:"#/$defs/Secret/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key1},message:"must NOT have additional properties",schema:false,parentSchema:schema39,data:data1}];
return false;
break;
}
}
if(_errs8 === errors){
if(data1.env !== undefined){
let data2 = data1.env;
const _errs9 = errors;
if(errors === _errs9){
if(typeof data2 === "string"){
if(data2.length < 1){
validate23.errors = [{instancePath:instancePath+"/token/env",schemaPath:"#/$defs/Secret/properties/env/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema39.properties.env,data:data2}];
return false;
}
}
else {
validate23.errors = [{instancePath:instancePath+"/token/env",schemaPath:"#/$defs/Secret/properties/env/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema39.properties.env.type,parentSchema:schema39.properties.env,data:data2}];
return false;
}
}
var valid3 = _errs9 === errors;
}
else {
var valid3 = true;
}
if(valid3){
if(data1.file !== undefined){
let data3 = data1.file;
const _errs11 = errors;
if(errors === _errs11){
if(typeof data3 === "string"){
if(data3.length < 1){
validate23.errors = [{instancePath:instancePath+"/token/file",schemaPath:"#/$defs/Secret/properties/file/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema39.properties.file,data:data3}];
return false;
}
}
else {
validate23.errors = [{instancePath:instancePath+"/token/file",schemaPath:"#/$defs/Secret/properties/file/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema39.properties.file.type,parentSchema:schema39.properties.file,data:data3}];
return false;
}
}
var valid3 = _errs11 === errors;
}
else {
var valid3 = true;
}
}
}
}
}
}
else {
validate23.errors = [{instancePath:instancePath+"/token",schemaPath:"#/$defs/Secret/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema39.type,parentSchema:schema39,data:data1}];
return false;
}
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.kind !== undefined){
let data4 = data.kind;
const _errs13 = errors;
const _errs14 = errors;
if(errors === _errs14){
if(typeof data4 === "string"){
if(!pattern4.test(data4)){
validate23.errors = [{instancePath:instancePath+"/kind",schemaPath:"#/$defs/Name/pattern",keyword:"pattern",params:{pattern: "^[a-z0-9][a-z0-9.-]*$"},message:"must match pattern \""+"^[a-z0-9][a-z0-9.-]*$"+"\"",schema:"^[a-z0-9][a-z0-9.-]*$",parentSchema:schema32,data:data4}];
return false;
}
}
else {
validate23.errors = [{instancePath:instancePath+"/kind",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema32.type,parentSchema:schema32,data:data4}];
return false;
}
}
var valid0 = _errs13 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.share !== undefined){
let data5 = data.share;
const _errs16 = errors;
if(errors === _errs16){
if((typeof data5 == "number") && (isFinite(data5))){
if(data5 <= 0 || isNaN(data5)){
validate23.errors = [{instancePath:instancePath+"/share",schemaPath:"#/properties/share/exclusiveMinimum",keyword:"exclusiveMinimum",params:{comparison: ">", limit: 0},message:"must be > 0",schema:0,parentSchema:schema37.properties.share,data:data5}];
return false;
}
}
else {
validate23.errors = [{instancePath:instancePath+"/share",schemaPath:"#/properties/share/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema37.properties.share.type,parentSchema:schema37.properties.share,data:data5}];
return false;
}
}
var valid0 = _errs16 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.deadline !== undefined){
let data6 = data.deadline;
const _errs18 = errors;
if(!(((typeof data6 == "number") && (!(data6 % 1) && !isNaN(data6))) && (isFinite(data6)))){
validate23.errors = [{instancePath:instancePath+"/deadline",schemaPath:"#/properties/deadline/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema37.properties.deadline.type,parentSchema:schema37.properties.deadline,data:data6}];
return false;
}
if(errors === _errs18){
if((typeof data6 == "number") && (isFinite(data6))){
if(data6 < 1 || isNaN(data6)){
validate23.errors = [{instancePath:instancePath+"/deadline",schemaPath:"#/properties/deadline/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema37.properties.deadline,data:data6}];
return false;
}
}
}
var valid0 = _errs18 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.call !== undefined){
const _errs20 = errors;
if(!(validate24(data.call, {instancePath:instancePath+"/call",parentData:data,parentDataProperty:"call",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate24.errors : vErrors.concat(validate24.errors);
errors = vErrors.length;
}
var valid0 = _errs20 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.input !== undefined){
const _errs21 = errors;
if(!(validate30(data.input, {instancePath:instancePath+"/input",parentData:data,parentDataProperty:"input",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate30.errors : vErrors.concat(validate30.errors);
errors = vErrors.length;
}
var valid0 = _errs21 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.tokens !== undefined){
const _errs22 = errors;
if(!(validate31(data.tokens, {instancePath:instancePath+"/tokens",parentData:data,parentDataProperty:"tokens",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate31.errors : vErrors.concat(validate31.errors);
errors = vErrors.length;
}
var valid0 = _errs22 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.maxTokens !== undefined){
let data10 = data.maxTokens;
const _errs23 = errors;
if(!(((typeof data10 == "number") && (!(data10 % 1) && !isNaN(data10))) && (isFinite(data10)))){
validate23.errors = [{instancePath:instancePath+"/maxTokens",schemaPath:"#/properties/maxTokens/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema37.properties.maxTokens.type,parentSchema:schema37.properties.maxTokens,data:data10}];
return false;
}
if(errors === _errs23){
if((typeof data10 == "number") && (isFinite(data10))){
if(data10 < 1 || isNaN(data10)){
validate23.errors = [{instancePath:instancePath+"/maxTokens",schemaPath:"#/properties/maxTokens/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema37.properties.maxTokens,data:data10}];
return false;
}
}
}
var valid0 = _errs23 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.stream !== undefined){
let data11 = data.stream;
const _errs25 = errors;
if(typeof data11 !== "boolean"){
validate23.errors = [{instancePath:instancePath+"/stream",schemaPath:"#/properties/stream/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema37.properties.stream.type,parentSchema:schema37.properties.stream,data:data11}];
return false;
}
var valid0 = _errs25 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.idempotent !== undefined){
let data12 = data.idempotent;
const _errs27 = errors;
if(typeof data12 !== "boolean"){
validate23.errors = [{instancePath:instancePath+"/idempotent",schemaPath:"#/properties/idempotent/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema37.properties.idempotent.type,parentSchema:schema37.properties.idempotent,data:data12}];
return false;
}
var valid0 = _errs27 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.key !== undefined){
let data13 = data.key;
const _errs29 = errors;
if(typeof data13 !== "boolean"){
validate23.errors = [{instancePath:instancePath+"/key",schemaPath:"#/properties/key/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema37.properties.key.type,parentSchema:schema37.properties.key,data:data13}];
return false;
}
var valid0 = _errs29 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.resends !== undefined){
let data14 = data.resends;
const _errs31 = errors;
if(!(((typeof data14 == "number") && (!(data14 % 1) && !isNaN(data14))) && (isFinite(data14)))){
validate23.errors = [{instancePath:instancePath+"/resends",schemaPath:"#/properties/resends/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema37.properties.resends.type,parentSchema:schema37.properties.resends,data:data14}];
return false;
}
if(errors === _errs31){
if((typeof data14 == "number") && (isFinite(data14))){
if(data14 > 10 || isNaN(data14)){
validate23.errors = [{instancePath:instancePath+"/resends",schemaPath:"#/properties/resends/maximum",keyword:"maximum",params:{comparison: "<=", limit: 10},message:"must be <= 10",schema:10,parentSchema:schema37.properties.resends,data:data14}];
return false;
}
else {
if(data14 < 0 || isNaN(data14)){
validate23.errors = [{instancePath:instancePath+"/resends",schemaPath:"#/properties/resends/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema37.properties.resends,data:data14}];
return false;
}
}
}
}
var valid0 = _errs31 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
}
}
}
}
}
}
}
}
else {
validate23.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema37.type,parentSchema:schema37,data}];
return false;
}
}
validate23.errors = vErrors;
return errors === 0;
}
validate23.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};

const schema51 = {"title":"ScheduledFault","type":"object","additionalProperties":false,"required":["at","type"],"properties":{"at":{"type":"integer","minimum":0},"type":{"enum":["slow","hang","crossed","late","drop","refuse","silent","leave","kill","clear"]},"service":{"$ref":"#/$defs/Name"},"endpoint":{"$ref":"#/$defs/Name"},"dataCentre":{"$ref":"#/$defs/Name"},"first":{"type":"integer","minimum":1,"description":"How many of the selected endpoints."},"factor":{"type":"number","exclusiveMinimum":0},"share":{"type":"number","minimum":0,"maximum":1},"count":{"type":"integer","minimum":1},"for":{"type":"integer","minimum":1}}};

function validate36(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate36.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((data.at === undefined) && (missing0 = "at")) || ((data.type === undefined) && (missing0 = "type"))){
validate36.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema51.required,parentSchema:schema51,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!(func1.call(schema51.properties, key0))){
validate36.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema51,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.at !== undefined){
let data0 = data.at;
const _errs2 = errors;
if(!(((typeof data0 == "number") && (!(data0 % 1) && !isNaN(data0))) && (isFinite(data0)))){
validate36.errors = [{instancePath:instancePath+"/at",schemaPath:"#/properties/at/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema51.properties.at.type,parentSchema:schema51.properties.at,data:data0}];
return false;
}
if(errors === _errs2){
if((typeof data0 == "number") && (isFinite(data0))){
if(data0 < 0 || isNaN(data0)){
validate36.errors = [{instancePath:instancePath+"/at",schemaPath:"#/properties/at/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema51.properties.at,data:data0}];
return false;
}
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.type !== undefined){
let data1 = data.type;
const _errs4 = errors;
if(!((((((((((data1 === "slow") || (data1 === "hang")) || (data1 === "crossed")) || (data1 === "late")) || (data1 === "drop")) || (data1 === "refuse")) || (data1 === "silent")) || (data1 === "leave")) || (data1 === "kill")) || (data1 === "clear"))){
validate36.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/enum",keyword:"enum",params:{allowedValues: schema51.properties.type.enum},message:"must be equal to one of the allowed values",schema:schema51.properties.type.enum,parentSchema:schema51.properties.type,data:data1}];
return false;
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.service !== undefined){
let data2 = data.service;
const _errs5 = errors;
const _errs6 = errors;
if(errors === _errs6){
if(typeof data2 === "string"){
if(!pattern4.test(data2)){
validate36.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/pattern",keyword:"pattern",params:{pattern: "^[a-z0-9][a-z0-9.-]*$"},message:"must match pattern \""+"^[a-z0-9][a-z0-9.-]*$"+"\"",schema:"^[a-z0-9][a-z0-9.-]*$",parentSchema:schema32,data:data2}];
return false;
}
}
else {
validate36.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema32.type,parentSchema:schema32,data:data2}];
return false;
}
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.endpoint !== undefined){
let data3 = data.endpoint;
const _errs8 = errors;
const _errs9 = errors;
if(errors === _errs9){
if(typeof data3 === "string"){
if(!pattern4.test(data3)){
validate36.errors = [{instancePath:instancePath+"/endpoint",schemaPath:"#/$defs/Name/pattern",keyword:"pattern",params:{pattern: "^[a-z0-9][a-z0-9.-]*$"},message:"must match pattern \""+"^[a-z0-9][a-z0-9.-]*$"+"\"",schema:"^[a-z0-9][a-z0-9.-]*$",parentSchema:schema32,data:data3}];
return false;
}
}
else {
validate36.errors = [{instancePath:instancePath+"/endpoint",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema32.type,parentSchema:schema32,data:data3}];
return false;
}
}
var valid0 = _errs8 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.dataCentre !== undefined){
let data4 = data.dataCentre;
const _errs11 = errors;
const _errs12 = errors;
if(errors === _errs12){
if(typeof data4 === "string"){
if(!pattern4.test(data4)){
validate36.errors = [{instancePath:instancePath+"/dataCentre",schemaPath:"#/$defs/Name/pattern",keyword:"pattern",params:{pattern: "^[a-z0-9][a-z0-9.-]*$"},message:"must match pattern \""+"^[a-z0-9][a-z0-9.-]*$"+"\"",schema:"^[a-z0-9][a-z0-9.-]*$",parentSchema:schema32,data:data4}];
return false;
}
}
else {
validate36.errors = [{instancePath:instancePath+"/dataCentre",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema32.type,parentSchema:schema32,data:data4}];
return false;
}
}
var valid0 = _errs11 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.first !== undefined){
let data5 = data.first;
const _errs14 = errors;
if(!(((typeof data5 == "number") && (!(data5 % 1) && !isNaN(data5))) && (isFinite(data5)))){
validate36.errors = [{instancePath:instancePath+"/first",schemaPath:"#/properties/first/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema51.properties.first.type,parentSchema:schema51.properties.first,data:data5}];
return false;
}
if(errors === _errs14){
if((typeof data5 == "number") && (isFinite(data5))){
if(data5 < 1 || isNaN(data5)){
validate36.errors = [{instancePath:instancePath+"/first",schemaPath:"#/properties/first/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema51.properties.first,data:data5}];
return false;
}
}
}
var valid0 = _errs14 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.factor !== undefined){
let data6 = data.factor;
const _errs16 = errors;
if(errors === _errs16){
if((typeof data6 == "number") && (isFinite(data6))){
if(data6 <= 0 || isNaN(data6)){
validate36.errors = [{instancePath:instancePath+"/factor",schemaPath:"#/properties/factor/exclusiveMinimum",keyword:"exclusiveMinimum",params:{comparison: ">", limit: 0},message:"must be > 0",schema:0,parentSchema:schema51.properties.factor,data:data6}];
return false;
}
}
else {
validate36.errors = [{instancePath:instancePath+"/factor",schemaPath:"#/properties/factor/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema51.properties.factor.type,parentSchema:schema51.properties.factor,data:data6}];
return false;
}
}
var valid0 = _errs16 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.share !== undefined){
let data7 = data.share;
const _errs18 = errors;
if(errors === _errs18){
if((typeof data7 == "number") && (isFinite(data7))){
if(data7 > 1 || isNaN(data7)){
validate36.errors = [{instancePath:instancePath+"/share",schemaPath:"#/properties/share/maximum",keyword:"maximum",params:{comparison: "<=", limit: 1},message:"must be <= 1",schema:1,parentSchema:schema51.properties.share,data:data7}];
return false;
}
else {
if(data7 < 0 || isNaN(data7)){
validate36.errors = [{instancePath:instancePath+"/share",schemaPath:"#/properties/share/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema51.properties.share,data:data7}];
return false;
}
}
}
else {
validate36.errors = [{instancePath:instancePath+"/share",schemaPath:"#/properties/share/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema51.properties.share.type,parentSchema:schema51.properties.share,data:data7}];
return false;
}
}
var valid0 = _errs18 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.count !== undefined){
let data8 = data.count;
const _errs20 = errors;
if(!(((typeof data8 == "number") && (!(data8 % 1) && !isNaN(data8))) && (isFinite(data8)))){
validate36.errors = [{instancePath:instancePath+"/count",schemaPath:"#/properties/count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema51.properties.count.type,parentSchema:schema51.properties.count,data:data8}];
return false;
}
if(errors === _errs20){
if((typeof data8 == "number") && (isFinite(data8))){
if(data8 < 1 || isNaN(data8)){
validate36.errors = [{instancePath:instancePath+"/count",schemaPath:"#/properties/count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema51.properties.count,data:data8}];
return false;
}
}
}
var valid0 = _errs20 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.for !== undefined){
let data9 = data.for;
const _errs22 = errors;
if(!(((typeof data9 == "number") && (!(data9 % 1) && !isNaN(data9))) && (isFinite(data9)))){
validate36.errors = [{instancePath:instancePath+"/for",schemaPath:"#/properties/for/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema51.properties.for.type,parentSchema:schema51.properties.for,data:data9}];
return false;
}
if(errors === _errs22){
if((typeof data9 == "number") && (isFinite(data9))){
if(data9 < 1 || isNaN(data9)){
validate36.errors = [{instancePath:instancePath+"/for",schemaPath:"#/properties/for/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema51.properties.for,data:data9}];
return false;
}
}
}
var valid0 = _errs22 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
}
}
}
}
}
else {
validate36.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema51.type,parentSchema:schema51,data}];
return false;
}
}
validate36.errors = vErrors;
return errors === 0;
}
validate36.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};


function validate20(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate20.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((((data.name === undefined) && (missing0 = "name")) || ((data.deployment === undefined) && (missing0 = "deployment"))) || ((data.duration === undefined) && (missing0 = "duration"))) || ((data.arrivals === undefined) && (missing0 = "arrivals"))) || ((data.mix === undefined) && (missing0 = "mix"))){
validate20.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema31.required,parentSchema:schema31,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!(func1.call(schema31.properties, key0))){
validate20.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema31,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.name !== undefined){
let data0 = data.name;
const _errs2 = errors;
const _errs3 = errors;
if(errors === _errs3){
if(typeof data0 === "string"){
if(!pattern4.test(data0)){
validate20.errors = [{instancePath:instancePath+"/name",schemaPath:"#/$defs/Name/pattern",keyword:"pattern",params:{pattern: "^[a-z0-9][a-z0-9.-]*$"},message:"must match pattern \""+"^[a-z0-9][a-z0-9.-]*$"+"\"",schema:"^[a-z0-9][a-z0-9.-]*$",parentSchema:schema32,data:data0}];
return false;
}
}
else {
validate20.errors = [{instancePath:instancePath+"/name",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema32.type,parentSchema:schema32,data:data0}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.description !== undefined){
let data1 = data.description;
const _errs5 = errors;
if(typeof data1 !== "string"){
validate20.errors = [{instancePath:instancePath+"/description",schemaPath:"#/properties/description/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema31.properties.description.type,parentSchema:schema31.properties.description,data:data1}];
return false;
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.deployment !== undefined){
let data2 = data.deployment;
const _errs7 = errors;
if(!((data2 === "kivu") || (data2 === "tran-gia"))){
validate20.errors = [{instancePath:instancePath+"/deployment",schemaPath:"#/properties/deployment/enum",keyword:"enum",params:{allowedValues: schema31.properties.deployment.enum},message:"must be equal to one of the allowed values",schema:schema31.properties.deployment.enum,parentSchema:schema31.properties.deployment,data:data2}];
return false;
}
var valid0 = _errs7 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.seed !== undefined){
let data3 = data.seed;
const _errs8 = errors;
if(!(((typeof data3 == "number") && (!(data3 % 1) && !isNaN(data3))) && (isFinite(data3)))){
validate20.errors = [{instancePath:instancePath+"/seed",schemaPath:"#/properties/seed/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema31.properties.seed.type,parentSchema:schema31.properties.seed,data:data3}];
return false;
}
if(errors === _errs8){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 < 0 || isNaN(data3)){
validate20.errors = [{instancePath:instancePath+"/seed",schemaPath:"#/properties/seed/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema31.properties.seed,data:data3}];
return false;
}
}
}
var valid0 = _errs8 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.duration !== undefined){
let data4 = data.duration;
const _errs10 = errors;
if(!(((typeof data4 == "number") && (!(data4 % 1) && !isNaN(data4))) && (isFinite(data4)))){
validate20.errors = [{instancePath:instancePath+"/duration",schemaPath:"#/properties/duration/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema31.properties.duration.type,parentSchema:schema31.properties.duration,data:data4}];
return false;
}
if(errors === _errs10){
if((typeof data4 == "number") && (isFinite(data4))){
if(data4 > 900000 || isNaN(data4)){
validate20.errors = [{instancePath:instancePath+"/duration",schemaPath:"#/properties/duration/maximum",keyword:"maximum",params:{comparison: "<=", limit: 900000},message:"must be <= 900000",schema:900000,parentSchema:schema31.properties.duration,data:data4}];
return false;
}
else {
if(data4 < 100 || isNaN(data4)){
validate20.errors = [{instancePath:instancePath+"/duration",schemaPath:"#/properties/duration/minimum",keyword:"minimum",params:{comparison: ">=", limit: 100},message:"must be >= 100",schema:100,parentSchema:schema31.properties.duration,data:data4}];
return false;
}
}
}
}
var valid0 = _errs10 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.requests !== undefined){
let data5 = data.requests;
const _errs12 = errors;
if(!(((typeof data5 == "number") && (!(data5 % 1) && !isNaN(data5))) && (isFinite(data5)))){
validate20.errors = [{instancePath:instancePath+"/requests",schemaPath:"#/properties/requests/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema31.properties.requests.type,parentSchema:schema31.properties.requests,data:data5}];
return false;
}
if(errors === _errs12){
if((typeof data5 == "number") && (isFinite(data5))){
if(data5 > 200000 || isNaN(data5)){
validate20.errors = [{instancePath:instancePath+"/requests",schemaPath:"#/properties/requests/maximum",keyword:"maximum",params:{comparison: "<=", limit: 200000},message:"must be <= 200000",schema:200000,parentSchema:schema31.properties.requests,data:data5}];
return false;
}
else {
if(data5 < 1 || isNaN(data5)){
validate20.errors = [{instancePath:instancePath+"/requests",schemaPath:"#/properties/requests/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema31.properties.requests,data:data5}];
return false;
}
}
}
}
var valid0 = _errs12 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.patience !== undefined){
let data6 = data.patience;
const _errs14 = errors;
if(!(((typeof data6 == "number") && (!(data6 % 1) && !isNaN(data6))) && (isFinite(data6)))){
validate20.errors = [{instancePath:instancePath+"/patience",schemaPath:"#/properties/patience/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema31.properties.patience.type,parentSchema:schema31.properties.patience,data:data6}];
return false;
}
if(errors === _errs14){
if((typeof data6 == "number") && (isFinite(data6))){
if(data6 > 60000 || isNaN(data6)){
validate20.errors = [{instancePath:instancePath+"/patience",schemaPath:"#/properties/patience/maximum",keyword:"maximum",params:{comparison: "<=", limit: 60000},message:"must be <= 60000",schema:60000,parentSchema:schema31.properties.patience,data:data6}];
return false;
}
else {
if(data6 < 0 || isNaN(data6)){
validate20.errors = [{instancePath:instancePath+"/patience",schemaPath:"#/properties/patience/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema31.properties.patience,data:data6}];
return false;
}
}
}
}
var valid0 = _errs14 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.target !== undefined){
let data7 = data.target;
const _errs16 = errors;
const _errs17 = errors;
if(errors === _errs17){
if(data7 && typeof data7 == "object" && !Array.isArray(data7)){
let missing1;
if(((data7.hosts === undefined) && (missing1 = "hosts")) || ((data7.standIns === undefined) && (missing1 = "standIns"))){
validate20.errors = [{instancePath:instancePath+"/target",schemaPath:"#/$defs/Target/required",keyword:"required",params:{missingProperty: missing1},message:"must have required property '"+missing1+"'",schema:schema33.required,parentSchema:schema33,data:data7}];
return false;
}
else {
const _errs19 = errors;
for(const key1 in data7){
if(!((key1 === "hosts") || (key1 === "standIns"))){
validate20.errors = [{instancePath:instancePath+"/target",schemaPath:"#/$defs/Target/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key1},message:"must NOT have additional properties",schema:false,parentSchema:schema33,data:data7}];
return false;
break;
}
}
if(_errs19 === errors){
if(data7.hosts !== undefined){
let data8 = data7.hosts;
const _errs20 = errors;
if(errors === _errs20){
if(Array.isArray(data8)){
if(data8.length < 1){
validate20.errors = [{instancePath:instancePath+"/target/hosts",schemaPath:"#/$defs/Target/properties/hosts/minItems",keyword:"minItems",params:{limit: 1},message:"must NOT have fewer than 1 items",schema:1,parentSchema:schema33.properties.hosts,data:data8}];
return false;
}
else {
var valid4 = true;
const len0 = data8.length;
for(let i0=0; i0<len0; i0++){
let data9 = data8[i0];
const _errs22 = errors;
if(errors === _errs22){
if(typeof data9 === "string"){
if(!pattern5.test(data9)){
validate20.errors = [{instancePath:instancePath+"/target/hosts/" + i0,schemaPath:"#/$defs/Target/properties/hosts/items/pattern",keyword:"pattern",params:{pattern: "^https?://"},message:"must match pattern \""+"^https?://"+"\"",schema:"^https?://",parentSchema:schema33.properties.hosts.items,data:data9}];
return false;
}
}
else {
validate20.errors = [{instancePath:instancePath+"/target/hosts/" + i0,schemaPath:"#/$defs/Target/properties/hosts/items/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.properties.hosts.items.type,parentSchema:schema33.properties.hosts.items,data:data9}];
return false;
}
}
var valid4 = _errs22 === errors;
if(!valid4){
break;
}
}
}
}
else {
validate20.errors = [{instancePath:instancePath+"/target/hosts",schemaPath:"#/$defs/Target/properties/hosts/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema33.properties.hosts.type,parentSchema:schema33.properties.hosts,data:data8}];
return false;
}
}
var valid3 = _errs20 === errors;
}
else {
var valid3 = true;
}
if(valid3){
if(data7.standIns !== undefined){
let data10 = data7.standIns;
const _errs24 = errors;
if(errors === _errs24){
if(typeof data10 === "string"){
if(!pattern6.test(data10)){
validate20.errors = [{instancePath:instancePath+"/target/standIns",schemaPath:"#/$defs/Target/properties/standIns/pattern",keyword:"pattern",params:{pattern: "^http://"},message:"must match pattern \""+"^http://"+"\"",schema:"^http://",parentSchema:schema33.properties.standIns,data:data10}];
return false;
}
}
else {
validate20.errors = [{instancePath:instancePath+"/target/standIns",schemaPath:"#/$defs/Target/properties/standIns/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.properties.standIns.type,parentSchema:schema33.properties.standIns,data:data10}];
return false;
}
}
var valid3 = _errs24 === errors;
}
else {
var valid3 = true;
}
}
}
}
}
else {
validate20.errors = [{instancePath:instancePath+"/target",schemaPath:"#/$defs/Target/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema33.type,parentSchema:schema33,data:data7}];
return false;
}
}
var valid0 = _errs16 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.hosts !== undefined){
let data11 = data.hosts;
const _errs26 = errors;
if(!(((typeof data11 == "number") && (!(data11 % 1) && !isNaN(data11))) && (isFinite(data11)))){
validate20.errors = [{instancePath:instancePath+"/hosts",schemaPath:"#/properties/hosts/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema31.properties.hosts.type,parentSchema:schema31.properties.hosts,data:data11}];
return false;
}
if(errors === _errs26){
if((typeof data11 == "number") && (isFinite(data11))){
if(data11 > 6 || isNaN(data11)){
validate20.errors = [{instancePath:instancePath+"/hosts",schemaPath:"#/properties/hosts/maximum",keyword:"maximum",params:{comparison: "<=", limit: 6},message:"must be <= 6",schema:6,parentSchema:schema31.properties.hosts,data:data11}];
return false;
}
else {
if(data11 < 1 || isNaN(data11)){
validate20.errors = [{instancePath:instancePath+"/hosts",schemaPath:"#/properties/hosts/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema31.properties.hosts,data:data11}];
return false;
}
}
}
}
var valid0 = _errs26 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.engines !== undefined){
let data12 = data.engines;
const _errs28 = errors;
const _errs29 = errors;
if(errors === _errs29){
if(data12 && typeof data12 == "object" && !Array.isArray(data12)){
const _errs31 = errors;
for(const key2 in data12){
if(!(((((((key2 === "slots") || (key2 === "stepTime")) || (key2 === "prefillTime")) || (key2 === "decodeTime")) || (key2 === "stride")) || (key2 === "cacheBlocks")) || (key2 === "gaps"))){
validate20.errors = [{instancePath:instancePath+"/engines",schemaPath:"#/$defs/Engines/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key2},message:"must NOT have additional properties",schema:false,parentSchema:schema34,data:data12}];
return false;
break;
}
}
if(_errs31 === errors){
if(data12.slots !== undefined){
let data13 = data12.slots;
const _errs32 = errors;
if(!(((typeof data13 == "number") && (!(data13 % 1) && !isNaN(data13))) && (isFinite(data13)))){
validate20.errors = [{instancePath:instancePath+"/engines/slots",schemaPath:"#/$defs/Engines/properties/slots/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema34.properties.slots.type,parentSchema:schema34.properties.slots,data:data13}];
return false;
}
if(errors === _errs32){
if((typeof data13 == "number") && (isFinite(data13))){
if(data13 < 1 || isNaN(data13)){
validate20.errors = [{instancePath:instancePath+"/engines/slots",schemaPath:"#/$defs/Engines/properties/slots/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema34.properties.slots,data:data13}];
return false;
}
}
}
var valid6 = _errs32 === errors;
}
else {
var valid6 = true;
}
if(valid6){
if(data12.stepTime !== undefined){
let data14 = data12.stepTime;
const _errs34 = errors;
if(errors === _errs34){
if((typeof data14 == "number") && (isFinite(data14))){
if(data14 <= 0 || isNaN(data14)){
validate20.errors = [{instancePath:instancePath+"/engines/stepTime",schemaPath:"#/$defs/Engines/properties/stepTime/exclusiveMinimum",keyword:"exclusiveMinimum",params:{comparison: ">", limit: 0},message:"must be > 0",schema:0,parentSchema:schema34.properties.stepTime,data:data14}];
return false;
}
}
else {
validate20.errors = [{instancePath:instancePath+"/engines/stepTime",schemaPath:"#/$defs/Engines/properties/stepTime/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema34.properties.stepTime.type,parentSchema:schema34.properties.stepTime,data:data14}];
return false;
}
}
var valid6 = _errs34 === errors;
}
else {
var valid6 = true;
}
if(valid6){
if(data12.prefillTime !== undefined){
let data15 = data12.prefillTime;
const _errs36 = errors;
if(errors === _errs36){
if((typeof data15 == "number") && (isFinite(data15))){
if(data15 < 0 || isNaN(data15)){
validate20.errors = [{instancePath:instancePath+"/engines/prefillTime",schemaPath:"#/$defs/Engines/properties/prefillTime/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema34.properties.prefillTime,data:data15}];
return false;
}
}
else {
validate20.errors = [{instancePath:instancePath+"/engines/prefillTime",schemaPath:"#/$defs/Engines/properties/prefillTime/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema34.properties.prefillTime.type,parentSchema:schema34.properties.prefillTime,data:data15}];
return false;
}
}
var valid6 = _errs36 === errors;
}
else {
var valid6 = true;
}
if(valid6){
if(data12.decodeTime !== undefined){
let data16 = data12.decodeTime;
const _errs38 = errors;
if(errors === _errs38){
if((typeof data16 == "number") && (isFinite(data16))){
if(data16 < 0 || isNaN(data16)){
validate20.errors = [{instancePath:instancePath+"/engines/decodeTime",schemaPath:"#/$defs/Engines/properties/decodeTime/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema34.properties.decodeTime,data:data16}];
return false;
}
}
else {
validate20.errors = [{instancePath:instancePath+"/engines/decodeTime",schemaPath:"#/$defs/Engines/properties/decodeTime/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema34.properties.decodeTime.type,parentSchema:schema34.properties.decodeTime,data:data16}];
return false;
}
}
var valid6 = _errs38 === errors;
}
else {
var valid6 = true;
}
if(valid6){
if(data12.stride !== undefined){
let data17 = data12.stride;
const _errs40 = errors;
if(!(((typeof data17 == "number") && (!(data17 % 1) && !isNaN(data17))) && (isFinite(data17)))){
validate20.errors = [{instancePath:instancePath+"/engines/stride",schemaPath:"#/$defs/Engines/properties/stride/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema34.properties.stride.type,parentSchema:schema34.properties.stride,data:data17}];
return false;
}
if(errors === _errs40){
if((typeof data17 == "number") && (isFinite(data17))){
if(data17 < 1 || isNaN(data17)){
validate20.errors = [{instancePath:instancePath+"/engines/stride",schemaPath:"#/$defs/Engines/properties/stride/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema34.properties.stride,data:data17}];
return false;
}
}
}
var valid6 = _errs40 === errors;
}
else {
var valid6 = true;
}
if(valid6){
if(data12.cacheBlocks !== undefined){
let data18 = data12.cacheBlocks;
const _errs42 = errors;
if(!(((typeof data18 == "number") && (!(data18 % 1) && !isNaN(data18))) && (isFinite(data18)))){
validate20.errors = [{instancePath:instancePath+"/engines/cacheBlocks",schemaPath:"#/$defs/Engines/properties/cacheBlocks/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema34.properties.cacheBlocks.type,parentSchema:schema34.properties.cacheBlocks,data:data18}];
return false;
}
if(errors === _errs42){
if((typeof data18 == "number") && (isFinite(data18))){
if(data18 < 1 || isNaN(data18)){
validate20.errors = [{instancePath:instancePath+"/engines/cacheBlocks",schemaPath:"#/$defs/Engines/properties/cacheBlocks/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema34.properties.cacheBlocks,data:data18}];
return false;
}
}
}
var valid6 = _errs42 === errors;
}
else {
var valid6 = true;
}
if(valid6){
if(data12.gaps !== undefined){
let data19 = data12.gaps;
const _errs44 = errors;
if(errors === _errs44){
if((typeof data19 == "number") && (isFinite(data19))){
if(data19 > 1 || isNaN(data19)){
validate20.errors = [{instancePath:instancePath+"/engines/gaps",schemaPath:"#/$defs/Engines/properties/gaps/maximum",keyword:"maximum",params:{comparison: "<=", limit: 1},message:"must be <= 1",schema:1,parentSchema:schema34.properties.gaps,data:data19}];
return false;
}
else {
if(data19 < 0 || isNaN(data19)){
validate20.errors = [{instancePath:instancePath+"/engines/gaps",schemaPath:"#/$defs/Engines/properties/gaps/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema34.properties.gaps,data:data19}];
return false;
}
}
}
else {
validate20.errors = [{instancePath:instancePath+"/engines/gaps",schemaPath:"#/$defs/Engines/properties/gaps/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema34.properties.gaps.type,parentSchema:schema34.properties.gaps,data:data19}];
return false;
}
}
var valid6 = _errs44 === errors;
}
else {
var valid6 = true;
}
}
}
}
}
}
}
}
}
else {
validate20.errors = [{instancePath:instancePath+"/engines",schemaPath:"#/$defs/Engines/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema34.type,parentSchema:schema34,data:data12}];
return false;
}
}
var valid0 = _errs28 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.arrivals !== undefined){
const _errs46 = errors;
if(!(validate21(data.arrivals, {instancePath:instancePath+"/arrivals",parentData:data,parentDataProperty:"arrivals",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate21.errors : vErrors.concat(validate21.errors);
errors = vErrors.length;
}
var valid0 = _errs46 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.mix !== undefined){
let data21 = data.mix;
const _errs47 = errors;
if(errors === _errs47){
if(Array.isArray(data21)){
if(data21.length < 1){
validate20.errors = [{instancePath:instancePath+"/mix",schemaPath:"#/properties/mix/minItems",keyword:"minItems",params:{limit: 1},message:"must NOT have fewer than 1 items",schema:1,parentSchema:schema31.properties.mix,data:data21}];
return false;
}
else {
var valid7 = true;
const len1 = data21.length;
for(let i1=0; i1<len1; i1++){
const _errs49 = errors;
if(!(validate23(data21[i1], {instancePath:instancePath+"/mix/" + i1,parentData:data21,parentDataProperty:i1,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate23.errors : vErrors.concat(validate23.errors);
errors = vErrors.length;
}
var valid7 = _errs49 === errors;
if(!valid7){
break;
}
}
}
}
else {
validate20.errors = [{instancePath:instancePath+"/mix",schemaPath:"#/properties/mix/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema31.properties.mix.type,parentSchema:schema31.properties.mix,data:data21}];
return false;
}
}
var valid0 = _errs47 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.faults !== undefined){
let data23 = data.faults;
const _errs50 = errors;
if(errors === _errs50){
if(Array.isArray(data23)){
var valid8 = true;
const len2 = data23.length;
for(let i2=0; i2<len2; i2++){
const _errs52 = errors;
if(!(validate36(data23[i2], {instancePath:instancePath+"/faults/" + i2,parentData:data23,parentDataProperty:i2,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate36.errors : vErrors.concat(validate36.errors);
errors = vErrors.length;
}
var valid8 = _errs52 === errors;
if(!valid8){
break;
}
}
}
else {
validate20.errors = [{instancePath:instancePath+"/faults",schemaPath:"#/properties/faults/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema31.properties.faults.type,parentSchema:schema31.properties.faults,data:data23}];
return false;
}
}
var valid0 = _errs50 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
}
}
}
}
}
}
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema31.type,parentSchema:schema31,data}];
return false;
}
}
validate20.errors = vErrors;
return errors === 0;
}
validate20.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};

