/** Validator generated from schema/watch.yaml.
 * @module */

// @ts-nocheck: generated code
"use strict";
export const validate = validate20;
export default validate20;
const schema31 = {"$schema":"https://json-schema.org/draft/2020-12/schema","title":"Message","description":"Messages by which hosts follow the table of another host.","type":"object","required":["type"],"discriminator":{"propertyName":"type"},"oneOf":[{"$ref":"#/$defs/Subscribe"},{"$ref":"#/$defs/Leave"},{"$ref":"#/$defs/Alive"},{"$ref":"#/$defs/Delta"},{"$ref":"#/$defs/Snapshot"}],"$defs":{"Revision":{"title":"Revision","type":"integer","minimum":0},"Subscribe":{"title":"Subscribe","description":"Starts or renews a watch, and says what the watcher has.","type":"object","additionalProperties":false,"required":["type","revision"],"properties":{"type":{"type":"string","const":"subscribe"},"revision":{"$ref":"#/$defs/Revision"}}},"Leave":{"title":"Leave","description":"Ends a watch.","type":"object","additionalProperties":false,"required":["type"],"properties":{"type":{"type":"string","const":"leave"}}},"Alive":{"title":"Alive","description":"The publisher lives and has nothing new.","type":"object","additionalProperties":false,"required":["type","revision","current"],"properties":{"type":{"type":"string","const":"alive"},"revision":{"$ref":"#/$defs/Revision"},"current":{"description":"Whether the publisher is in touch with the quorum.","type":"boolean"},"leader":{"description":"Host that takes edits, if known.","type":"string"}}},"Delta":{"title":"Delta","description":"What changed after revision `from` up to `revision`.","type":"object","additionalProperties":false,"required":["type","from","revision","written"],"properties":{"type":{"type":"string","const":"delta"},"from":{"$ref":"#/$defs/Revision"},"revision":{"$ref":"#/$defs/Revision"},"written":{"type":"array","items":{"$ref":"#/$defs/WrittenCell"}}}},"Snapshot":{"title":"Snapshot","description":"One part of a whole table.","type":"object","additionalProperties":false,"required":["type","revision","part","parts","rows"],"properties":{"type":{"type":"string","const":"snapshot"},"revision":{"$ref":"#/$defs/Revision"},"part":{"type":"integer","minimum":0},"parts":{"type":"integer","minimum":1,"maximum":1000},"rows":{"type":"array","items":{"$ref":"#/$defs/SnapshotRow"}}}},"WrittenCell":{"title":"WrittenCell","description":"A cell as an edit left it; null when it was emptied.","type":"object","additionalProperties":false,"required":["row","column","value","version","actor"],"properties":{"row":{"type":"string"},"column":{"type":"string"},"value":{"$ref":"#/$defs/Value"},"version":{"type":"integer","minimum":1},"actor":{"type":"string"}}},"SnapshotRow":{"title":"SnapshotRow","type":"object","additionalProperties":false,"required":["row","cells"],"properties":{"row":{"type":"string"},"cells":{"type":"object","additionalProperties":{"$ref":"#/$defs/SnapshotCell"}}}},"SnapshotCell":{"title":"SnapshotCell","type":"object","additionalProperties":false,"required":["value","version","actor"],"properties":{"value":{"$ref":"#/$defs/Value"},"version":{"type":"integer","minimum":1},"actor":{"type":"string"}}},"Value":{"title":"Value","type":["number","string","boolean","null"]}}};
const schema46 = {"title":"Leave","description":"Ends a watch.","type":"object","additionalProperties":false,"required":["type"],"properties":{"type":{"type":"string","const":"leave"}}};
const schema32 = {"title":"Subscribe","description":"Starts or renews a watch, and says what the watcher has.","type":"object","additionalProperties":false,"required":["type","revision"],"properties":{"type":{"type":"string","const":"subscribe"},"revision":{"$ref":"#/$defs/Revision"}}};
const schema33 = {"title":"Revision","type":"integer","minimum":0};

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
if(((data.type === undefined) && (missing0 = "type")) || ((data.revision === undefined) && (missing0 = "revision"))){
validate21.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema32.required,parentSchema:schema32,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!((key0 === "type") || (key0 === "revision"))){
validate21.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema32,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.type !== undefined){
let data0 = data.type;
const _errs2 = errors;
if(typeof data0 !== "string"){
validate21.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema32.properties.type.type,parentSchema:schema32.properties.type,data:data0}];
return false;
}
if("subscribe" !== data0){
validate21.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "subscribe"},message:"must be equal to constant",schema:"subscribe",parentSchema:schema32.properties.type,data:data0}];
return false;
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.revision !== undefined){
let data1 = data.revision;
const _errs4 = errors;
const _errs5 = errors;
if(!(((typeof data1 == "number") && (!(data1 % 1) && !isNaN(data1))) && (isFinite(data1)))){
validate21.errors = [{instancePath:instancePath+"/revision",schemaPath:"#/$defs/Revision/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data1}];
return false;
}
if(errors === _errs5){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 0 || isNaN(data1)){
validate21.errors = [{instancePath:instancePath+"/revision",schemaPath:"#/$defs/Revision/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data1}];
return false;
}
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
validate21.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema32.type,parentSchema:schema32,data}];
return false;
}
}
validate21.errors = vErrors;
return errors === 0;
}
validate21.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};

const schema34 = {"title":"Alive","description":"The publisher lives and has nothing new.","type":"object","additionalProperties":false,"required":["type","revision","current"],"properties":{"type":{"type":"string","const":"alive"},"revision":{"$ref":"#/$defs/Revision"},"current":{"description":"Whether the publisher is in touch with the quorum.","type":"boolean"},"leader":{"description":"Host that takes edits, if known.","type":"string"}}};

function validate22(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate22.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((data.type === undefined) && (missing0 = "type")) || ((data.revision === undefined) && (missing0 = "revision"))) || ((data.current === undefined) && (missing0 = "current"))){
validate22.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema34.required,parentSchema:schema34,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!((((key0 === "type") || (key0 === "revision")) || (key0 === "current")) || (key0 === "leader"))){
validate22.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema34,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.type !== undefined){
let data0 = data.type;
const _errs2 = errors;
if(typeof data0 !== "string"){
validate22.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema34.properties.type.type,parentSchema:schema34.properties.type,data:data0}];
return false;
}
if("alive" !== data0){
validate22.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "alive"},message:"must be equal to constant",schema:"alive",parentSchema:schema34.properties.type,data:data0}];
return false;
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.revision !== undefined){
let data1 = data.revision;
const _errs4 = errors;
const _errs5 = errors;
if(!(((typeof data1 == "number") && (!(data1 % 1) && !isNaN(data1))) && (isFinite(data1)))){
validate22.errors = [{instancePath:instancePath+"/revision",schemaPath:"#/$defs/Revision/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data1}];
return false;
}
if(errors === _errs5){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 0 || isNaN(data1)){
validate22.errors = [{instancePath:instancePath+"/revision",schemaPath:"#/$defs/Revision/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data1}];
return false;
}
}
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.current !== undefined){
let data2 = data.current;
const _errs7 = errors;
if(typeof data2 !== "boolean"){
validate22.errors = [{instancePath:instancePath+"/current",schemaPath:"#/properties/current/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema34.properties.current.type,parentSchema:schema34.properties.current,data:data2}];
return false;
}
var valid0 = _errs7 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.leader !== undefined){
let data3 = data.leader;
const _errs9 = errors;
if(typeof data3 !== "string"){
validate22.errors = [{instancePath:instancePath+"/leader",schemaPath:"#/properties/leader/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema34.properties.leader.type,parentSchema:schema34.properties.leader,data:data3}];
return false;
}
var valid0 = _errs9 === errors;
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
validate22.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema34.type,parentSchema:schema34,data}];
return false;
}
}
validate22.errors = vErrors;
return errors === 0;
}
validate22.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};

const schema36 = {"title":"Delta","description":"What changed after revision `from` up to `revision`.","type":"object","additionalProperties":false,"required":["type","from","revision","written"],"properties":{"type":{"type":"string","const":"delta"},"from":{"$ref":"#/$defs/Revision"},"revision":{"$ref":"#/$defs/Revision"},"written":{"type":"array","items":{"$ref":"#/$defs/WrittenCell"}}}};
const schema39 = {"title":"WrittenCell","description":"A cell as an edit left it; null when it was emptied.","type":"object","additionalProperties":false,"required":["row","column","value","version","actor"],"properties":{"row":{"type":"string"},"column":{"type":"string"},"value":{"$ref":"#/$defs/Value"},"version":{"type":"integer","minimum":1},"actor":{"type":"string"}}};
const schema40 = {"title":"Value","type":["number","string","boolean","null"]};

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
if((((((data.row === undefined) && (missing0 = "row")) || ((data.column === undefined) && (missing0 = "column"))) || ((data.value === undefined) && (missing0 = "value"))) || ((data.version === undefined) && (missing0 = "version"))) || ((data.actor === undefined) && (missing0 = "actor"))){
validate24.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema39.required,parentSchema:schema39,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!(((((key0 === "row") || (key0 === "column")) || (key0 === "value")) || (key0 === "version")) || (key0 === "actor"))){
validate24.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema39,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.row !== undefined){
let data0 = data.row;
const _errs2 = errors;
if(typeof data0 !== "string"){
validate24.errors = [{instancePath:instancePath+"/row",schemaPath:"#/properties/row/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema39.properties.row.type,parentSchema:schema39.properties.row,data:data0}];
return false;
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.column !== undefined){
let data1 = data.column;
const _errs4 = errors;
if(typeof data1 !== "string"){
validate24.errors = [{instancePath:instancePath+"/column",schemaPath:"#/properties/column/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema39.properties.column.type,parentSchema:schema39.properties.column,data:data1}];
return false;
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.value !== undefined){
let data2 = data.value;
const _errs6 = errors;
if((((!((typeof data2 == "number") && (isFinite(data2)))) && (typeof data2 !== "string")) && (typeof data2 !== "boolean")) && (data2 !== null)){
validate24.errors = [{instancePath:instancePath+"/value",schemaPath:"#/$defs/Value/type",keyword:"type",params:{type: schema40.type},message:"must be number,string,boolean,null",schema:schema40.type,parentSchema:schema40,data:data2}];
return false;
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.version !== undefined){
let data3 = data.version;
const _errs9 = errors;
if(!(((typeof data3 == "number") && (!(data3 % 1) && !isNaN(data3))) && (isFinite(data3)))){
validate24.errors = [{instancePath:instancePath+"/version",schemaPath:"#/properties/version/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema39.properties.version.type,parentSchema:schema39.properties.version,data:data3}];
return false;
}
if(errors === _errs9){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 < 1 || isNaN(data3)){
validate24.errors = [{instancePath:instancePath+"/version",schemaPath:"#/properties/version/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema39.properties.version,data:data3}];
return false;
}
}
}
var valid0 = _errs9 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.actor !== undefined){
let data4 = data.actor;
const _errs11 = errors;
if(typeof data4 !== "string"){
validate24.errors = [{instancePath:instancePath+"/actor",schemaPath:"#/properties/actor/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema39.properties.actor.type,parentSchema:schema39.properties.actor,data:data4}];
return false;
}
var valid0 = _errs11 === errors;
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
else {
validate24.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema39.type,parentSchema:schema39,data}];
return false;
}
}
validate24.errors = vErrors;
return errors === 0;
}
validate24.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};


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
if(((((data.type === undefined) && (missing0 = "type")) || ((data.from === undefined) && (missing0 = "from"))) || ((data.revision === undefined) && (missing0 = "revision"))) || ((data.written === undefined) && (missing0 = "written"))){
validate23.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema36.required,parentSchema:schema36,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!((((key0 === "type") || (key0 === "from")) || (key0 === "revision")) || (key0 === "written"))){
validate23.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema36,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.type !== undefined){
let data0 = data.type;
const _errs2 = errors;
if(typeof data0 !== "string"){
validate23.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema36.properties.type.type,parentSchema:schema36.properties.type,data:data0}];
return false;
}
if("delta" !== data0){
validate23.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "delta"},message:"must be equal to constant",schema:"delta",parentSchema:schema36.properties.type,data:data0}];
return false;
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.from !== undefined){
let data1 = data.from;
const _errs4 = errors;
const _errs5 = errors;
if(!(((typeof data1 == "number") && (!(data1 % 1) && !isNaN(data1))) && (isFinite(data1)))){
validate23.errors = [{instancePath:instancePath+"/from",schemaPath:"#/$defs/Revision/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data1}];
return false;
}
if(errors === _errs5){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 0 || isNaN(data1)){
validate23.errors = [{instancePath:instancePath+"/from",schemaPath:"#/$defs/Revision/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data1}];
return false;
}
}
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.revision !== undefined){
let data2 = data.revision;
const _errs7 = errors;
const _errs8 = errors;
if(!(((typeof data2 == "number") && (!(data2 % 1) && !isNaN(data2))) && (isFinite(data2)))){
validate23.errors = [{instancePath:instancePath+"/revision",schemaPath:"#/$defs/Revision/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data2}];
return false;
}
if(errors === _errs8){
if((typeof data2 == "number") && (isFinite(data2))){
if(data2 < 0 || isNaN(data2)){
validate23.errors = [{instancePath:instancePath+"/revision",schemaPath:"#/$defs/Revision/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data2}];
return false;
}
}
}
var valid0 = _errs7 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.written !== undefined){
let data3 = data.written;
const _errs10 = errors;
if(errors === _errs10){
if(Array.isArray(data3)){
var valid3 = true;
const len0 = data3.length;
for(let i0=0; i0<len0; i0++){
const _errs12 = errors;
if(!(validate24(data3[i0], {instancePath:instancePath+"/written/" + i0,parentData:data3,parentDataProperty:i0,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate24.errors : vErrors.concat(validate24.errors);
errors = vErrors.length;
}
var valid3 = _errs12 === errors;
if(!valid3){
break;
}
}
}
else {
validate23.errors = [{instancePath:instancePath+"/written",schemaPath:"#/properties/written/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema36.properties.written.type,parentSchema:schema36.properties.written,data:data3}];
return false;
}
}
var valid0 = _errs10 === errors;
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
validate23.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema36.type,parentSchema:schema36,data}];
return false;
}
}
validate23.errors = vErrors;
return errors === 0;
}
validate23.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};

const schema41 = {"title":"Snapshot","description":"One part of a whole table.","type":"object","additionalProperties":false,"required":["type","revision","part","parts","rows"],"properties":{"type":{"type":"string","const":"snapshot"},"revision":{"$ref":"#/$defs/Revision"},"part":{"type":"integer","minimum":0},"parts":{"type":"integer","minimum":1,"maximum":1000},"rows":{"type":"array","items":{"$ref":"#/$defs/SnapshotRow"}}}};
const schema43 = {"title":"SnapshotRow","type":"object","additionalProperties":false,"required":["row","cells"],"properties":{"row":{"type":"string"},"cells":{"type":"object","additionalProperties":{"$ref":"#/$defs/SnapshotCell"}}}};
const schema44 = {"title":"SnapshotCell","type":"object","additionalProperties":false,"required":["value","version","actor"],"properties":{"value":{"$ref":"#/$defs/Value"},"version":{"type":"integer","minimum":1},"actor":{"type":"string"}}};

function validate28(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate28.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((data.value === undefined) && (missing0 = "value")) || ((data.version === undefined) && (missing0 = "version"))) || ((data.actor === undefined) && (missing0 = "actor"))){
validate28.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema44.required,parentSchema:schema44,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!(((key0 === "value") || (key0 === "version")) || (key0 === "actor"))){
validate28.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema44,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.value !== undefined){
let data0 = data.value;
const _errs2 = errors;
if((((!((typeof data0 == "number") && (isFinite(data0)))) && (typeof data0 !== "string")) && (typeof data0 !== "boolean")) && (data0 !== null)){
validate28.errors = [{instancePath:instancePath+"/value",schemaPath:"#/$defs/Value/type",keyword:"type",params:{type: schema40.type},message:"must be number,string,boolean,null",schema:schema40.type,parentSchema:schema40,data:data0}];
return false;
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.version !== undefined){
let data1 = data.version;
const _errs5 = errors;
if(!(((typeof data1 == "number") && (!(data1 % 1) && !isNaN(data1))) && (isFinite(data1)))){
validate28.errors = [{instancePath:instancePath+"/version",schemaPath:"#/properties/version/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema44.properties.version.type,parentSchema:schema44.properties.version,data:data1}];
return false;
}
if(errors === _errs5){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 1 || isNaN(data1)){
validate28.errors = [{instancePath:instancePath+"/version",schemaPath:"#/properties/version/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema44.properties.version,data:data1}];
return false;
}
}
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.actor !== undefined){
let data2 = data.actor;
const _errs7 = errors;
if(typeof data2 !== "string"){
validate28.errors = [{instancePath:instancePath+"/actor",schemaPath:"#/properties/actor/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema44.properties.actor.type,parentSchema:schema44.properties.actor,data:data2}];
return false;
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
else {
validate28.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema44.type,parentSchema:schema44,data}];
return false;
}
}
validate28.errors = vErrors;
return errors === 0;
}
validate28.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};


function validate27(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate27.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((data.row === undefined) && (missing0 = "row")) || ((data.cells === undefined) && (missing0 = "cells"))){
validate27.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema43.required,parentSchema:schema43,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!((key0 === "row") || (key0 === "cells"))){
validate27.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema43,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.row !== undefined){
let data0 = data.row;
const _errs2 = errors;
if(typeof data0 !== "string"){
validate27.errors = [{instancePath:instancePath+"/row",schemaPath:"#/properties/row/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema43.properties.row.type,parentSchema:schema43.properties.row,data:data0}];
return false;
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.cells !== undefined){
let data1 = data.cells;
const _errs4 = errors;
if(errors === _errs4){
if(data1 && typeof data1 == "object" && !Array.isArray(data1)){
for(const key1 in data1){
const _errs7 = errors;
if(!(validate28(data1[key1], {instancePath:instancePath+"/cells/" + key1.replace(/~/g, "~0").replace(/\//g, "~1"),parentData:data1,parentDataProperty:key1,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate28.errors : vErrors.concat(validate28.errors);
errors = vErrors.length;
}
var valid1 = _errs7 === errors;
if(!valid1){
break;
}
}
}
else {
validate27.errors = [{instancePath:instancePath+"/cells",schemaPath:"#/properties/cells/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema43.properties.cells.type,parentSchema:schema43.properties.cells,data:data1}];
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
validate27.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema43.type,parentSchema:schema43,data}];
return false;
}
}
validate27.errors = vErrors;
return errors === 0;
}
validate27.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};


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
if((((((data.type === undefined) && (missing0 = "type")) || ((data.revision === undefined) && (missing0 = "revision"))) || ((data.part === undefined) && (missing0 = "part"))) || ((data.parts === undefined) && (missing0 = "parts"))) || ((data.rows === undefined) && (missing0 = "rows"))){
validate26.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema41.required,parentSchema:schema41,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!(((((key0 === "type") || (key0 === "revision")) || (key0 === "part")) || (key0 === "parts")) || (key0 === "rows"))){
validate26.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema41,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.type !== undefined){
let data0 = data.type;
const _errs2 = errors;
if(typeof data0 !== "string"){
validate26.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema41.properties.type.type,parentSchema:schema41.properties.type,data:data0}];
return false;
}
if("snapshot" !== data0){
validate26.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "snapshot"},message:"must be equal to constant",schema:"snapshot",parentSchema:schema41.properties.type,data:data0}];
return false;
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.revision !== undefined){
let data1 = data.revision;
const _errs4 = errors;
const _errs5 = errors;
if(!(((typeof data1 == "number") && (!(data1 % 1) && !isNaN(data1))) && (isFinite(data1)))){
validate26.errors = [{instancePath:instancePath+"/revision",schemaPath:"#/$defs/Revision/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data1}];
return false;
}
if(errors === _errs5){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 0 || isNaN(data1)){
validate26.errors = [{instancePath:instancePath+"/revision",schemaPath:"#/$defs/Revision/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data1}];
return false;
}
}
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.part !== undefined){
let data2 = data.part;
const _errs7 = errors;
if(!(((typeof data2 == "number") && (!(data2 % 1) && !isNaN(data2))) && (isFinite(data2)))){
validate26.errors = [{instancePath:instancePath+"/part",schemaPath:"#/properties/part/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema41.properties.part.type,parentSchema:schema41.properties.part,data:data2}];
return false;
}
if(errors === _errs7){
if((typeof data2 == "number") && (isFinite(data2))){
if(data2 < 0 || isNaN(data2)){
validate26.errors = [{instancePath:instancePath+"/part",schemaPath:"#/properties/part/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema41.properties.part,data:data2}];
return false;
}
}
}
var valid0 = _errs7 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.parts !== undefined){
let data3 = data.parts;
const _errs9 = errors;
if(!(((typeof data3 == "number") && (!(data3 % 1) && !isNaN(data3))) && (isFinite(data3)))){
validate26.errors = [{instancePath:instancePath+"/parts",schemaPath:"#/properties/parts/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema41.properties.parts.type,parentSchema:schema41.properties.parts,data:data3}];
return false;
}
if(errors === _errs9){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 > 1000 || isNaN(data3)){
validate26.errors = [{instancePath:instancePath+"/parts",schemaPath:"#/properties/parts/maximum",keyword:"maximum",params:{comparison: "<=", limit: 1000},message:"must be <= 1000",schema:1000,parentSchema:schema41.properties.parts,data:data3}];
return false;
}
else {
if(data3 < 1 || isNaN(data3)){
validate26.errors = [{instancePath:instancePath+"/parts",schemaPath:"#/properties/parts/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema41.properties.parts,data:data3}];
return false;
}
}
}
}
var valid0 = _errs9 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.rows !== undefined){
let data4 = data.rows;
const _errs11 = errors;
if(errors === _errs11){
if(Array.isArray(data4)){
var valid2 = true;
const len0 = data4.length;
for(let i0=0; i0<len0; i0++){
const _errs13 = errors;
if(!(validate27(data4[i0], {instancePath:instancePath+"/rows/" + i0,parentData:data4,parentDataProperty:i0,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate27.errors : vErrors.concat(validate27.errors);
errors = vErrors.length;
}
var valid2 = _errs13 === errors;
if(!valid2){
break;
}
}
}
else {
validate26.errors = [{instancePath:instancePath+"/rows",schemaPath:"#/properties/rows/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema41.properties.rows.type,parentSchema:schema41.properties.rows,data:data4}];
return false;
}
}
var valid0 = _errs11 === errors;
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
else {
validate26.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema41.type,parentSchema:schema41,data}];
return false;
}
}
validate26.errors = vErrors;
return errors === 0;
}
validate26.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};


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
if((data.type === undefined) && (missing0 = "type")){
validate20.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema31.required,parentSchema:schema31,data}];
return false;
}
else {
const tag0 = data.type;
if(typeof tag0 == "string"){
if(tag0 === "subscribe"){
if(!(validate21(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate21.errors : vErrors.concat(validate21.errors);
errors = vErrors.length;
}
var props0 = true;
}
else if(tag0 === "leave"){
const _errs4 = errors;
if(errors === _errs4){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing1;
if((data.type === undefined) && (missing1 = "type")){
validate20.errors = [{instancePath,schemaPath:"#/$defs/Leave/required",keyword:"required",params:{missingProperty: missing1},message:"must have required property '"+missing1+"'",schema:schema46.required,parentSchema:schema46,data}];
return false;
}
else {
const _errs6 = errors;
for(const key0 in data){
if(!(key0 === "type")){
validate20.errors = [{instancePath,schemaPath:"#/$defs/Leave/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema46,data}];
return false;
break;
}
}
if(_errs6 === errors){
if(data.type !== undefined){
let data0 = data.type;
if(typeof data0 !== "string"){
validate20.errors = [{instancePath:instancePath+"/type",schemaPath:"#/$defs/Leave/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema46.properties.type.type,parentSchema:schema46.properties.type,data:data0}];
return false;
}
if("leave" !== data0){
validate20.errors = [{instancePath:instancePath+"/type",schemaPath:"#/$defs/Leave/properties/type/const",keyword:"const",params:{allowedValue: "leave"},message:"must be equal to constant",schema:"leave",parentSchema:schema46.properties.type,data:data0}];
return false;
}
}
}
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/$defs/Leave/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema46.type,parentSchema:schema46,data}];
return false;
}
}
if(props0 !== true){
props0 = true;
}
}
else if(tag0 === "alive"){
if(!(validate22(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate22.errors : vErrors.concat(validate22.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = true;
}
}
else if(tag0 === "delta"){
if(!(validate23(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate23.errors : vErrors.concat(validate23.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = true;
}
}
else if(tag0 === "snapshot"){
if(!(validate26(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate26.errors : vErrors.concat(validate26.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = true;
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/discriminator",keyword:"discriminator",params:{error: "mapping", tag: "type", tagValue: tag0},message:"value of tag \"type\" must be in oneOf",schema:schema31.discriminator,parentSchema:schema31,data}];
return false;
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/discriminator",keyword:"discriminator",params:{error: "tag", tag: "type", tagValue: tag0},message:"tag \"type\" must be string",schema:schema31.discriminator,parentSchema:schema31,data}];
return false;
}
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema31.type,parentSchema:schema31,data}];
return false;
}
}
validate20.errors = vErrors;
evaluated0.props = props0;
return errors === 0;
}
validate20.evaluated = {"dynamicProps":true,"dynamicItems":false};

